/** The platform's store as the product uses it: tables of rows that can be read, followed and written. */
package org.tarragonarch.model.store;
