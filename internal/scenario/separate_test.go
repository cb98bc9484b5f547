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
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// TestSeparateProcesses runs the stand-ins as processes of their own too, and drives a
// request and a job of each kind from one end to the other.
func TestSeparateProcesses(t *testing.T) {
	is := is.New(t)
	store := standin(t, "kv", standinConfig{Listen: port(t)})
	callers, operators, peers := port(t), port(t), port(t)
	product(t, "entry", "--id", "entry-1", "--data-centre", "zuerich-a", "--callers", callers, "--operators", operators,
		"--listen", peers, "--advertise", peers, "--store", "http://"+store)
	operator := client.New(client.Options{Address: "http://" + operators})
	raw, err := examples.Files.ReadFile("verband.json")
	is.NoErr(err)
	is.NoErr(until(func() error {
		_, err := operator.Apply(context.Background(), "production", 0, raw)
		return err
	}))
	for i := range 3 {
		name, local := fmt.Sprintf("runner-%d", i), port(t)
		worker := standin(t, "worker", standinConfig{Listen: port(t), Name: name})
		product(t, "agent", "--id", name, "--data-centre", "zuerich-a", "--entry", peers, "--listen", local, "--worker", "http://"+worker)
		standin(t, "upstream", standinConfig{Listen: port(t), Agent: "http://" + local, Service: "servietten-hub"})
	}
	is.NoErr(until(func() error { return threeReady(operator) }))
	d, err := document.Parse(raw)
	is.NoErr(err)
	for _, kind := range d.Services[0].Kinds {
		answer, err := client.New(client.Options{Address: "http://" + callers}).Do(t.Context(), client.Request{Service: "servietten-hub", Kind: kind.Name, Body: []byte(kind.Name)})
		is.NoErr(err)
		is.Equal(string(answer.Body), kind.Name)
	}
	for _, kind := range d.TaskKinds {
		job, err := operator.Submit(t.Context(), client.JobSpec{Team: "press-room", Name: kind.Name, Tasks: []client.TaskSpec{{
			Kind: kind.Name, Count: 2, MilliCPU: 1000, MemoryBytes: 1 << 30, Run: document.Duration(time.Second),
		}}}, "")
		is.NoErr(err)
		is.NoErr(until(func() error {
			done, err := operator.Job(t.Context(), job.ID)
			if err == nil && done.Counts["finished"] != 2 {
				err = fmt.Errorf("%v", done.Counts)
			}
			return err
		}))
	}
}

func threeReady(operator *client.Client) error {
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

func port(t *testing.T) string {
	address, err := freePort()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// standin starts this test's binary as a stand-in and returns its address.
func standin(t *testing.T, role string, c standinConfig) string {
	config, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), standinRole+"="+role, "JASMINEBAY_TEST_CONFIG="+string(config))
	background(t, command)
	return c.Listen
}

// product starts the program under test.
func product(t *testing.T, arguments ...string) { background(t, exec.Command(binary, arguments...)) }

// background starts a process that ends with the test.
func background(t *testing.T, command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}
