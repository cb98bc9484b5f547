package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/standin"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// TestSeparateProcesses runs the stand-ins as separate processes too, and sends a request and a job
// of each kind through the whole system.
func TestSeparateProcesses(t *testing.T) {
	is := is.New(t)
	storeAddress := startStandin(t, "kv", standinConfig{Listen: mustFreeAddress(t)})
	callersAddress, operatorsAddress, peerAddress := mustFreeAddress(t), mustFreeAddress(t), mustFreeAddress(t)
	startProgram(t, "entry", "--id", "entry-1", "--data-centre", "zuerich-a", "--callers", callersAddress, "--operators", operatorsAddress,
		"--listen", peerAddress, "--advertise", peerAddress, "--store", "http://"+storeAddress)
	operator := client.New(client.Options{Address: "http://" + operatorsAddress})
	raw, err := examples.Files.ReadFile("verband.json")
	is.NoErr(err)
	is.NoErr(eventually(func() error {
		_, err := operator.Apply(context.Background(), "production", 0, raw)
		return err
	}))
	for i := range 3 {
		name, agentAddress := fmt.Sprintf("runner-%d", i), mustFreeAddress(t)
		workerAddress := startStandin(t, "worker", standinConfig{Listen: mustFreeAddress(t), Name: name})
		startProgram(t, "agent", "--id", name, "--data-centre", "zuerich-a", "--entry", peerAddress, "--listen", agentAddress, "--worker", "http://"+workerAddress)
		startStandin(t, "upstream", standinConfig{Listen: mustFreeAddress(t), Agent: "http://" + agentAddress, Service: "servietten-hub"})
	}
	is.NoErr(eventually(func() error { return checkThreeUpstreamsReady(operator) }))
	doc, err := document.Parse(raw)
	is.NoErr(err)
	for _, kind := range doc.Services[0].Kinds {
		response, err := client.New(client.Options{Address: "http://" + callersAddress}).Do(t.Context(), client.Request{Service: "servietten-hub", Kind: kind.Name, Body: []byte(kind.Name)})
		is.NoErr(err)
		is.Equal(string(response.Body), kind.Name)
	}
	for _, kind := range doc.TaskKinds {
		job, err := operator.Submit(t.Context(), client.JobSpec{Team: "press-room", Name: kind.Name, Tasks: []client.TaskSpec{{
			Kind: kind.Name, Count: 2, MilliCPU: 1000, MemoryBytes: 1 << 30, Run: document.Duration(time.Second),
		}}}, "")
		is.NoErr(err)
		is.NoErr(eventually(func() error {
			done, err := operator.Job(t.Context(), job.ID)
			if err == nil && done.Counts["finished"] != 2 {
				err = fmt.Errorf("%v", done.Counts)
			}
			return err
		}))
	}
}

func checkThreeUpstreamsReady(operator *client.Client) error {
	upstreams, err := operator.Upstreams(context.Background())
	ready := 0
	for _, u := range upstreams {
		if u.Ready {
			ready++
		}
	}
	if err == nil && ready != 3 {
		err = fmt.Errorf("%d of 3 upstreams are ready", ready)
	}
	return err
}

func mustFreeAddress(t *testing.T) string {
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startStandin starts the test binary as a stand-in and returns its address.
func startStandin(t *testing.T, role string, c standinConfig) string {
	config, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), standinRoleEnv+"="+role, "JASMINEBAY_TEST_CONFIG="+string(config))
	startProcess(t, command)
	return c.Listen
}

// startProgram starts the program under test.
func startProgram(t *testing.T, arguments ...string) {
	startProcess(t, exec.Command(binaryPath, arguments...))
}

// startProcess starts a process that is killed at the end of the test.
func startProcess(t *testing.T, command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}
