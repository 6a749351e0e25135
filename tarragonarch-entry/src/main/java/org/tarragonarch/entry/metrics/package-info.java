/** The figures that a scraper reads. */
package org.tarragonarch.entry.metrics;
