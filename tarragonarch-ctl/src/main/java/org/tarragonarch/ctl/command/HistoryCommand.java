package org.tarragonarch.ctl.command;

import java.time.temporal.ChronoUnit;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.platform.AuditRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the accepted versions of the configuration. */
@Command(name = "history", description = "Lists the accepted versions, the newest first: who changed what, and when.")
final class HistoryCommand extends ConnectedCommand {
    @Mixin
    private LimitOption limit;

    @Override
    public Integer call() throws Exception {
        return withGateway(connection(), gateway -> {
            Table table = Table.of("version", "when", "operator", "summary");
            for (AuditRecord record : gateway.audit(limit.limit())) {
                table.row(
                        record.version().value(),
                        record.when().truncatedTo(ChronoUnit.SECONDS),
                        record.operator(),
                        record.summary());
            }
            output().printTable(table, "no configuration is accepted yet");
            return ExitCode.OK.number();
        });
    }
}
