/**
 * The load driver. Submissions arrive by a seeded random process, whether or not earlier ones were answered, so that a
 * stall increases the response times instead of reducing the load.
 */
package org.tarragonarch.standin.load;
