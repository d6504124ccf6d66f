/** Prepares libraries for the class data sharing archive that deployed instances start with. */
package org.bergamotcross.deploy;
