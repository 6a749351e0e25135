/** The stand-in for endpoints: runs small tasks in slots, keeps a ledger of starts and fails on demand. */
package org.tarragonarch.standin.endpoint;
