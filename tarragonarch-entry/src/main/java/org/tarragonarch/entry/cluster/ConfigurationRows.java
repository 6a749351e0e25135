package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.adapter.PlatformNames;
import org.tarragonarch.core.follow.FailedCall;
import org.tarragonarch.core.follow.TableListener;
import org.tarragonarch.model.store.StoreRow;

/** Takes the operators' rows of the store: the configuration is one of them. */
final class ConfigurationRows implements TableListener {
    private final ConfigurationInForce configuration;
    private final Runnable changed;
    private final StoreLog log;

    ConfigurationRows(ConfigurationInForce configuration, Runnable changed, StoreLog log) {
        this.configuration = configuration;
        this.changed = changed;
        this.log = log;
    }

    @Override
    public void replaced(ImmutableList<StoreRow> rows) {
        changed(rows);
    }

    @Override
    public void changed(ImmutableList<StoreRow> rows) {
        for (StoreRow row : rows) {
            boolean holdsConfiguration = row.key().equals(PlatformNames.CONFIGURATION_ROW) && !row.deleted();
            if (holdsConfiguration && configuration.offered(row.value(), "store")) {
                changed.run();
            }
        }
    }

    @Override
    public void current() {
        configuration.confirmed();
        log.answered();
    }

    @Override
    public void unusable(RuntimeException why) {
        log.unusable(why);
    }

    @Override
    public void lost(FailedCall call) {
        log.lost(call);
    }

    @Override
    public void stillLost(FailedCall call) {
        log.stillLost(call);
    }

    @Override
    public void regained(long awayMillis) {
        log.regained(awayMillis);
    }
}
