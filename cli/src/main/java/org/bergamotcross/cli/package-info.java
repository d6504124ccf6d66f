/** The operators' command line: one class for each command, results apart from their output. */
package org.bergamotcross.cli;
