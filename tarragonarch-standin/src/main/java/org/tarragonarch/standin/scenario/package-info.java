/**
 * The scenario language: what happens at which virtual time, and what must come of it.
 *
 * <p>A scenario drives the same {@link org.tarragonarch.standin.explore.World} as the explorer, so every promise is
 * checked at every step as well; the expectations of a scenario are what the promises alone do not say.
 */
package org.tarragonarch.standin.scenario;
