/** Which configuration is in force and how a newer one is adopted. */
package org.tarragonarch.core.configuration;
