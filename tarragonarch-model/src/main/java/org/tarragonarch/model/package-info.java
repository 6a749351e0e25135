/** Types that every module shares; the sub-packages hold them by concept. */
package org.tarragonarch.model;
