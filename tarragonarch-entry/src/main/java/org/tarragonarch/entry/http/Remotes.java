package org.tarragonarch.entry.http;

import io.netty.channel.Channel;

/** Names the far end of a connection in logs. */
final class Remotes {
    private Remotes() {}

    static String of(Channel channel) {
        return channel.remoteAddress() == null
                ? "unknown"
                : channel.remoteAddress().toString().replaceFirst("^.*/", "");
    }
}
