/** What the operator program prints: aligned tables for people, JSON for programs. */
package org.tarragonarch.ctl.output;
