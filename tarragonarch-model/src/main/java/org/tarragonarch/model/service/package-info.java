/** What operators configure: services, kinds, teams, callers and operators. */
package org.tarragonarch.model.service;
