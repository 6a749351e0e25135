/** The definitions in the configuration: services, kinds, teams, callers and operators. */
package org.tarragonarch.model.service;
