/**
 * The load driver: submissions arrive by a seeded random process whether or not earlier ones were answered, so that a
 * stall shows in the response times instead of holding the load back.
 */
package org.tarragonarch.standin.load;
