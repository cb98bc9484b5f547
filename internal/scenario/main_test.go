package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	// The tests build the program from this package at run time. The import invalidates cached
	// test results when the package changes.
	_ "github.com/jasminebay/jasminebay/internal/command"
)

var (
	// binaryPath is the path of the program under test.
	binaryPath string
	// raceFlags are the build flags that enable the race detector in the program under test if it
	// is enabled in the tests.
	raceFlags []string
)

func TestMain(m *testing.M) {
	if role := os.Getenv(standinRoleEnv); role != "" {
		runStandin(role)
		return
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jasminebay")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryPath = filepath.Join(dir, "jasminebay")
	build := exec.Command("go", append(append([]string{"build"}, raceFlags...), "-o", binaryPath, "../../cmd/jasminebay")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"system": scriptCommand(cmdSystem), "send": scriptCommand(cmdSend), "finish": scriptCommand(cmdFinish),
			"judge": scriptCommand(cmdJudge), "signal": scriptCommand(cmdSignal), "start": scriptCommand(cmdStart), "twin": scriptCommand(cmdTwin),
			"callers": scriptCommand(cmdCallers), "hangup": scriptCommand(cmdHangUp), "quota": scriptCommand(cmdQuota),
			"link": scriptCommand(cmdLink), "fault": scriptCommand(cmdFault), "submit": scriptCommand(cmdSubmit),
			"await": scriptCommand(cmdAwait), "job": scriptCommand(cmdJob), "apply": scriptCommand(cmdApply), "race": scriptCommand(cmdRace), "promote": scriptCommand(cmdPromote),
			"inforce": scriptCommand(cmdInForce), "sleep": scriptCommand(cmdSleep), "ready": scriptCommand(cmdReady),
			"owners": scriptCommand(cmdOwners), "starts": scriptCommand(cmdStarts), "logged": scriptCommand(cmdLogged), "runs": scriptCommand(cmdRuns), "loads": scriptCommand(cmdLoads), "reserved": scriptCommand(cmdReserved),
			"load": scriptCommand(cmdLoad), "operate": scriptCommand(cmdOperate), "tasks": scriptCommand(cmdTasks), "raw": scriptCommand(cmdRaw), "calls": scriptCommand(cmdCalls), "amplification": scriptCommand(cmdAmplification),
		},
	})
}
