package org.tarragonarch.core.action;

/** Read the configuration row, and report {@code ConfigurationRowRead} or {@code PlatformFailed}. */
public record ReadConfigurationRow() implements Action {}
