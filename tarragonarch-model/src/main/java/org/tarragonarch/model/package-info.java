/** Types shared by all modules, grouped by concept in sub-packages. */
package org.tarragonarch.model;
