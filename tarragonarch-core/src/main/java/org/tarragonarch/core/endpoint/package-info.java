/** What is known of each endpoint: health, load and whether it is leaving. */
package org.tarragonarch.core.endpoint;
