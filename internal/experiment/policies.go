package experiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jasminebay/jasminebay/internal/flow/engine"
)

type namedPolicy struct {
	name   string
	policy engine.Policy
}

// policies lists the policies by name. The first is the default policy of the scheduler; each other
// one replaces one decision of the engine by a simpler one.
var policies = []namedPolicy{
	{"product", engine.Policy{}},
	{"first-come-first-served", engine.Policy{Order: engine.OrderByArrival}},
	{"shortest-first", engine.Policy{Order: engine.OrderByWork}},
	{"random-placement", engine.Policy{RandomPlacement: true}},
	{"no-shedding", engine.Policy{NoShedding: true}},
	{"no-copies", engine.Policy{NoSpeculation: true}},
	{"no-pacing", engine.Policy{NoPacing: true}},
}

// PolicyNames returns the names of all policies.
func PolicyNames() (names []string) {
	for _, p := range policies {
		names = append(names, p.name)
	}
	return names
}

// PolicyByName returns the policy with a name.
func PolicyByName(name string) (engine.Policy, error) {
	i := slices.IndexFunc(policies, func(p namedPolicy) bool { return p.name == name })
	if i < 0 {
		return engine.Policy{}, fmt.Errorf("experiment: unknown policy %q, want one of %s", name, strings.Join(PolicyNames(), ", "))
	}
	return policies[i].policy, nil
}
