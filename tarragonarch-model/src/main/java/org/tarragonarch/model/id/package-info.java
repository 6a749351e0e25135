/** Value types for the names and numbers by which things are known. */
package org.tarragonarch.model.id;
