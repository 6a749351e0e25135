/**
 * The scenario language: steps at virtual times, and expectations on the result.
 *
 * <p>A scenario drives the same {@link org.tarragonarch.standin.explore.World} as the explorer, so every promise is
 * also checked at every step. The expectations of a scenario cover what the promises do not.
 */
package org.tarragonarch.standin.scenario;
