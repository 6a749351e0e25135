/** The interface to the platform's store: tables of rows that can be read, followed and written. */
package org.tarragonarch.model.store;
