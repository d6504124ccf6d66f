/**
 * Provides the operators' command line: one class per command, with results separate from output.
 */
package org.bergamotcross.cli;
