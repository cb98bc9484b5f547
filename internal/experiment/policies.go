package experiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jasminebay/jasminebay/internal/flow/engine"
)

type named struct {
	name   string
	policy engine.Policy
}

// policies by name; the first one is what the product does.
var policies = []named{
	{"product", engine.Policy{}},
	{"first-come-first-served", engine.Policy{Order: engine.OrderByArrival}},
	{"shortest-first", engine.Policy{Order: engine.OrderByWork}},
	{"random-placement", engine.Policy{RandomPlacement: true}},
	{"no-shedding", engine.Policy{NoShedding: true}},
	{"no-copies", engine.Policy{NoSpeculation: true}},
	{"no-pacing", engine.Policy{NoPacing: true}},
}

// PolicyNames returns the names of the policies.
func PolicyNames() (names []string) {
	for _, p := range policies {
		names = append(names, p.name)
	}
	return names
}

// PolicyByName returns the policy of a name.
func PolicyByName(name string) (engine.Policy, error) {
	i := slices.IndexFunc(policies, func(p named) bool { return p.name == name })
	if i < 0 {
		return engine.Policy{}, fmt.Errorf("experiment: unknown policy %q, want one of %s", name, strings.Join(PolicyNames(), ", "))
	}
	return policies[i].policy, nil
}
