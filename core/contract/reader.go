package contract

import (
	"encoding/hex"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Defaults of optional keys.
const (
	defaultPlainTimeout  = 30 * time.Second
	defaultCallerWeight  = 1.0
	defaultMaxConcurrent = 64
	defaultMemoryBlocks  = 4096
	defaultBlockTokens   = 16
	defaultMaxBatch      = 64
	defaultRouteWeight   = 100
	defaultTeamClass     = "standard"
)

// sectionReader parses the keys of one section and reports faults to builder.
type sectionReader struct {
	builder *builder
	section string
	keys    map[string]string
	used    map[string]bool
}

func (r *sectionReader) addFault(key, format string, args ...any) {
	r.builder.addFault(r.section, key, format, args...)
}

func (r *sectionReader) optional(key, fallback string) string {
	r.used[key] = true
	if v, ok := r.keys[key]; ok {
		return strings.TrimSpace(v)
	}
	return fallback
}

func (r *sectionReader) required(key string) string {
	v := r.optional(key, "")
	if v == "" {
		r.addFault(key, "a value is required")
	}
	return v
}

func (r *sectionReader) list(key string) []string {
	var out []string
	for _, part := range strings.Split(r.optional(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func (r *sectionReader) integer(key string, fallback, minimum, maximum int) int {
	text := r.optional(key, strconv.Itoa(fallback))
	n, err := strconv.Atoi(text)
	if err != nil || n < minimum || n > maximum {
		r.addFault(key, "%q is not a whole number from %d to %d", text, minimum, maximum)
		return fallback
	}
	return n
}

func (r *sectionReader) number(key string, fallback, minimum, maximum float64) float64 {
	text := r.optional(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= minimum && f <= maximum) {
		r.addFault(key, "%q is not a number from %g to %g", text, minimum, maximum)
		return fallback
	}
	return f
}

func (r *sectionReader) duration(key string, fallback time.Duration) time.Duration {
	text := r.optional(key, fallback.String())
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		r.addFault(key, "%q is not a duration such as 250ms", text)
		return fallback
	}
	return d
}

func (r *sectionReader) boolean(key string, fallback bool) bool {
	text := r.optional(key, strconv.FormatBool(fallback))
	v, err := strconv.ParseBool(text)
	if err != nil {
		r.addFault(key, "%q is neither true nor false", text)
	}
	return v
}

func (r *sectionReader) oneOf(key, fallback string, allowed ...string) string {
	v := r.optional(key, fallback)
	if !contains(allowed, v) {
		r.addFault(key, "%q is not one of %s", v, strings.Join(allowed, ", "))
	}
	return v
}

func (r *sectionReader) reportUnknownKeys() {
	var unknown []string
	for key := range r.keys {
		if !r.used[key] {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		r.addFault(key, "unknown key")
	}
}

func (r *sectionReader) backendServer(name string) BackendServer {
	address := r.required("address")
	if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
		r.addFault("address", "%q is not an IP number with a port", address)
	}
	return BackendServer{
		Name: name, Host: r.required("host"), Service: r.required("service"), Address: address,
		State: BackendState(r.oneOf("state", string(BackendServing),
			string(BackendJoining), string(BackendServing), string(BackendLeaving))),
		ChecksFencing: r.boolean("checks_fencing", false), ContinuesGenerations: r.boolean("continues_generations", false),
		MemoryBlocks: r.integer("memory_blocks", defaultMemoryBlocks, 1, 1<<30),
		BlockTokens:  r.integer("block_tokens", defaultBlockTokens, 1, 1<<16),
		MaxBatch:     r.integer("max_batch", defaultMaxBatch, 1, 1<<16),
	}
}

func (r *sectionReader) service(name string) Service {
	s := Service{
		Name:    name,
		Kind:    ServiceKind(r.oneOf("kind", string(KindGeneration), string(KindGeneration), string(KindPlain))),
		Timeout: r.duration("timeout", defaultPlainTimeout),
	}
	for _, text := range r.list("non_repeatable") {
		method, prefix, ok := strings.Cut(text, " ")
		prefix = strings.TrimSpace(prefix)
		if !ok || !strings.HasPrefix(prefix, "/") {
			r.addFault("non_repeatable", "%q is not of the form METHOD /path", text)
			continue
		}
		s.NonRepeatable = append(s.NonRepeatable, CallPattern{Method: strings.ToUpper(method), Prefix: prefix})
	}
	return s
}

func (r *sectionReader) caller(name string) Caller {
	digest := strings.ToLower(r.required("key_sha256"))
	if raw, err := hex.DecodeString(digest); digest != "" && (err != nil || len(raw) != 32) {
		r.addFault("key_sha256", "the value is not a SHA-256 digest in hexadecimal")
	}
	return Caller{
		Name: name, KeySHA256: digest,
		Weight:        r.number("weight", defaultCallerWeight, 0.001, 1e6),
		Priority:      r.integer("priority", 0, -100, 100),
		MaxConcurrent: r.integer("max_concurrent", defaultMaxConcurrent, 1, 1<<20),
		RatePerSecond: r.number("rate_per_second", 0, 0, 1e9),
		Burst:         r.integer("burst", defaultMaxConcurrent, 1, 1<<20),
		TeamClass:     r.optional("team_class", defaultTeamClass),
	}
}

func (r *sectionReader) route(name string) Route {
	return Route{
		Name: name, Service: r.required("service"), Callers: r.list("callers"),
		Model: r.required("model"), Adapter: r.optional("adapter", ""), Version: r.optional("version", ""),
		Weight:   r.integer("weight", defaultRouteWeight, 0, 1<<20),
		Priority: r.integer("priority", 0, -100, 100),
		Class:    r.optional("class", ""),
	}
}

func (r *sectionReader) objective(name string) Objective {
	o := Objective{
		Name: name, Service: r.required("service"), TeamClass: r.optional("team_class", ""),
		Kind: ObjectiveKind(r.oneOf("kind", "", string(ObjectiveStall), string(ObjectiveBetweenTokens),
			string(ObjectiveFirstToken), string(ObjectiveWhole), string(ObjectivePreemptions))),
		Bound:    r.duration("bound", 0),
		MaxCount: r.integer("max_count", 0, 0, 1<<20),
		Target:   r.number("target", 0.99, 0, 0.999999),
	}
	needsBound := o.Kind == ObjectiveStall || o.Kind == ObjectiveBetweenTokens || o.Kind == ObjectiveFirstToken
	if needsBound && o.Bound == 0 {
		r.addFault("bound", "an objective of kind %s needs a bound", o.Kind)
	}
	return o
}
