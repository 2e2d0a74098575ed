#include "bluebell/ctl/command_line.h"

namespace bluebell::ctl {

std::string_view HelpText() {
  return R"(Shows and changes a running bluebellspan fleet.

Usage:
  bluebellctl status [--all] [--json] [--admin=ADDRESS]...
  bluebellctl config get [SETTING] [--service=S] [--domain=D] [--endpoint=E] [--caller=C] [--json] [--admin=ADDRESS]...
  bluebellctl config history [--json] [--admin=ADDRESS]...
  bluebellctl config wait VERSION [--timeout=SECONDS] [--json] [--admin=ADDRESS]...
  bluebellctl config check FILE [--json] [--admin=ADDRESS]...
  bluebellctl config set SETTING VALUE --reason=TEXT [--base=VERSION] [--operator=NAME] [--json] [--admin=ADDRESS]...
  bluebellctl except add NAME [--service=S] [--domain=D] [--endpoint=E] [--caller=C] SETTING VALUE --reason=TEXT [--base=VERSION] [--operator=NAME] [--json] [--admin=ADDRESS]...
  bluebellctl except remove NAME --reason=TEXT [--base=VERSION] [--operator=NAME] [--json] [--admin=ADDRESS]...
  bluebellctl drain ENDPOINT --reason=TEXT [--base=VERSION] [--operator=NAME] [--json] [--admin=ADDRESS]...
  bluebellctl undrain ENDPOINT --reason=TEXT [--base=VERSION] [--operator=NAME] [--json] [--admin=ADDRESS]...
  bluebellctl placement [SERVICE] [--json] [--admin=ADDRESS]...
  bluebellctl explain SERVICE KEY [--json] [--admin=ADDRESS]...
  bluebellctl explain --request=ID [--json] [--admin=ADDRESS]...
  bluebellctl domain-lost DOMAIN --reason=TEXT [--operator=NAME] [--json] [--admin=ADDRESS]...
  bluebellctl --help

Options:
  --admin=ADDRESS    IP:PORT of a daemon's admin_listen; may be given several
                     times, the first that answers is asked. Default: the
                     variable BLUEBELL_ADMIN, a list with commas.
  --json             Print JSON for scripts instead of text.
  --reason=TEXT      Why. Kept in the history; required for every change.
  --operator=NAME    Who. Default: BLUEBELL_OPERATOR, else USER.
  --base=VERSION     The configuration version you looked at. If somebody has
                     changed it since, nothing is done and the other change is
                     shown. Default: the version in force now.
  --timeout=SECONDS  How long to wait [default: 10].
  --all              Also list what is well.
  --service=S        Scope: one service.
  --domain=D         Scope: one failure domain.
  --endpoint=E       Scope: one endpoint.
  --caller=C         Scope: one caller.
  --request=ID       The request's id (Idempotency-Key).
  -h --help          Show this text.

Examples:
  See whether all is well:
    bluebellctl status --admin 127.0.0.1:8081
  Stop planned moves for the night, and wait until all daemons do so:
    bluebellctl config get moves_per_minute
    bluebellctl config set moves_per_minute 0 --reason "stocktaking tonight"
    bluebellctl config wait 8
  Check changes in a file before they are sent, against the version in force if
  a daemon is given:
    bluebellctl config check changes.json --admin 127.0.0.1:8081
  Let one endpoint have a shorter queue than the others:
    bluebellctl except add small-disk --endpoint lk-west-a-tracker-3 \
        queue_limit.normal 20 --reason "slow disk, ticket 4711"
  Take an endpoint out of service and back:
    bluebellctl drain lk-west-a-tracker-3 --reason "disk swap"
    bluebellctl undrain lk-west-a-tracker-3 --reason "disk swapped"
  Who owns a key, since when and why:
    bluebellctl explain tracker bin-4711
  Give up a failure domain whose hosts are known to be off. Never for one that
  is only unreachable: two owners of a key would be the result.
    bluebellctl domain-lost lk-west-c --reason "site confirms power is off"

Exit status: 0 done, 1 refused by the daemon, 2 wrong usage, 3 no daemon
reachable, 4 somebody else changed the configuration first, 5 waited in vain,
6 the check found something, 7 the file can't be read.
)";
}

}  // namespace bluebell::ctl
