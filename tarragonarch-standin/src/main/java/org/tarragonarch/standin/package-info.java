/** The programs of the stand-in module: endpoints, platform, load driver and comparison of results. */
package org.tarragonarch.standin;
