/** Collections that the libraries in use do not have. */
package org.tarragonarch.model.collect;
