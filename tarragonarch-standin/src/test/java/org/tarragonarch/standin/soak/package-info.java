/**
 * The fault soak: runs nodes as separate processes, injects faults from outside, and checks the guarantees by what
 * clients and endpoints recorded. A seed determines the plan of faults;
 * {@link org.tarragonarch.standin.soak.SoakMain} runs any number of seeds.
 */
package org.tarragonarch.standin.soak;
