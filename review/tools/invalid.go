package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// invalidStates are desired states that the pages call invalid. The plain ones are sent in any
// case; the others are the trouble.
var invalidStates = []struct {
	name    string
	trouble bool
	routes  string
}{
	{"two routes share host and prefix", false, route("a", "desk.example", `"service":"desk"`) + "," +
		route("b", "desk.example", `"service":"other"`)},
	{"a route names an unknown service", false, route("a", "desk.example", `"service":"none"`)},
	{"two routes share host and prefix, the host in capitals", true, route("a", "desk.example", `"service":"desk"`) + "," +
		route("b", "DESK.example", `"service":"other"`)},
	{"a route names an unknown service beside a split", true, route("a", "desk.example",
		`"service":"none","traffic-split":[{"service":"other","weight":1}]`)},
}

func route(name, host, target string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"path-prefix":"/hold/","kind":"unsafe","timeout-ms":800,"target-latency-ms":150,`+
		`"priority":2,%s,"max-attempts":1,"anonymous":false,"sticky":false,"resumable":false}`, name, host, target)
}

func twoServices(version int, routes string) string {
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health-path":"/health","max-connections":110,"protocol":"h1","tls":false}`, name)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s,%s],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,`+
		`"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}`,
		version, routes, service("desk"), service("other"))
}

// playInvalid sends invalid desired states, each with a valid one before it, and asks the front
// machine which service runs a request.
func playInvalid(p *platform, trouble bool) (bool, error) {
	ran := make(chan string, 16)
	for i, service := range []string{"desk", "other"} {
		r, err := p.addReplica(101+i, service, "hall-1", 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.run = func(r *replica, id string, _ *http.Request, _ []byte) bool {
			p.record.note(r.id, "runs %s", id)
			ran <- r.service
			return false
		}
	}
	core, err := p.startCore(3)
	if err != nil {
		return false, err
	}
	valid := route("a", "desk.example", `"service":"desk"`)
	if !p.putUntilAcked(core, twoServices(1, valid), 15*time.Second) {
		return false, errors.New("the first desired state was not acknowledged")
	}
	front := core[0]
	if _, err := p.start(front, "entry", true); err != nil {
		return false, err
	}
	if !p.waitReady(front, 15*time.Second) {
		return false, fmt.Errorf("%s did not become ready", front.name)
	}
	time.Sleep(contactWindow)
	version, acked, wrong := 1, 0, 0
	for _, s := range invalidStates {
		if s.trouble && !trouble {
			continue
		}
		version++
		if !p.putUntilAcked(core, twoServices(version, valid), 15*time.Second) {
			return false, fmt.Errorf("valid version %d was not acknowledged", version)
		}
		version++
		status, text := p.put(core[version%len(core)], twoServices(version, s.routes))
		p.record.say("invalid version %d, %s: answered %d %s", version, s.name, status, strings.TrimSpace(text))
		if status == http.StatusOK {
			acked++
		}
		// The bound within which a desired state is in force.
		time.Sleep(2 * time.Second)
		id := fmt.Sprintf("r%d", version)
		a := p.consume(front, http.MethodPost, "desk.example", "/hold/slot", id, key, http.NoBody, 0, 1500*time.Millisecond)
		p.record.note("consumer", "%s: %s", id, a.text())
		select {
		case service := <-ran:
			p.record.say("request %s was run by service %s; the valid version %d sends it to desk", id, service, version-1)
			if service != "desk" {
				wrong++
			}
		case <-time.After(time.Second):
			p.record.say("request %s was run by no service", id)
		}
	}
	p.record.say("%d invalid desired states were acknowledged, %d requests were run as only these say", acked, wrong)
	return acked > 0, nil
}
