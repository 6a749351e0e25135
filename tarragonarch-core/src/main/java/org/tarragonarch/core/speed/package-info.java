/** Estimates of the relative speeds of endpoints, from the ratio of expected to true run times. */
package org.tarragonarch.core.speed;
