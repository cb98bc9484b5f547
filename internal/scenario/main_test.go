package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	// The processes under test are built from this package; the import makes a kept result
	// of the tests void when it changes.
	_ "github.com/jasminebay/jasminebay/internal/command"
)

var (
	// binary is the program under test.
	binary string
	// raceFlags build it with the race detector if the tests run with it.
	raceFlags []string
)

func TestMain(m *testing.M) {
	if role := os.Getenv(standinRole); role != "" {
		runStandin(role)
		return
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jasminebay")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "jasminebay")
	build := exec.Command("go", append(append([]string{"build"}, raceFlags...), "-o", binary, "../../cmd/jasminebay")...)
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
			"system": command(cmdSystem), "send": command(cmdSend), "finish": command(cmdFinish),
			"judge": command(cmdJudge), "signal": command(cmdSignal), "start": command(cmdStart), "twin": command(cmdTwin),
			"link": command(cmdLink), "fault": command(cmdFault), "submit": command(cmdSubmit),
			"await": command(cmdAwait), "job": command(cmdJob), "apply": command(cmdApply), "race": command(cmdRace), "promote": command(cmdPromote),
			"inforce": command(cmdInForce), "sleep": command(cmdSleep), "ready": command(cmdReady),
			"owners": command(cmdOwners), "logged": command(cmdLogged), "runs": command(cmdRuns),
			"load": command(cmdLoad), "operate": command(cmdOperate), "tasks": command(cmdTasks), "raw": command(cmdRaw), "calls": command(cmdCalls), "amplification": command(cmdAmplification),
		},
	})
}
