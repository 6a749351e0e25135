package org.tarragonarch.ctl.command;

import java.time.temporal.ChronoUnit;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.platform.AuditRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the audit trail. */
@Command(name = "audit", description = "Prints the audit trail with change ids and digests, the newest change first.")
final class AuditCommand extends ConnectedCommand {
    @Mixin
    private LimitOption limit;

    @Option(names = "--by", paramLabel = "OPERATOR", description = "Only the changes of this operator.")
    private String by;

    @Override
    public Integer call() throws Exception {
        return withGateway(connection(), gateway -> {
            Table table = Table.of("version", "from", "when", "operator", "change", "digest", "summary");
            for (AuditRecord record : gateway.audit(limit.limit())) {
                if (by == null || by.equals(record.operator().value())) {
                    table.row(
                            record.version().value(),
                            record.from().value(),
                            record.when().truncatedTo(ChronoUnit.MILLIS),
                            record.operator(),
                            record.change(),
                            record.digest(),
                            record.summary());
                }
            }
            output().printTable(table, "no matching change");
            return ExitCode.OK.number();
        });
    }
}
