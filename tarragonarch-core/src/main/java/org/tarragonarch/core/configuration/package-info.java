/** The configuration in force at a node, and the adoption of newer ones. */
package org.tarragonarch.core.configuration;
