package settings

import (
	"encoding/hex"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// sectionReader reads the values of one section and reports invalid ones.
type sectionReader struct {
	parser   *parser
	section  string
	values   map[string]string
	readKeys map[string]bool
}

func newSectionReader(p *parser, file *ini.File, section string) *sectionReader {
	r := &sectionReader{parser: p, section: section, values: map[string]string{}, readKeys: map[string]bool{}}
	s, err := file.GetSection(section)
	if err != nil {
		return r
	}
	for _, key := range s.Keys() {
		// Value, unlike String, does not expand %(name)s.
		r.values[key.Name()] = strings.TrimSpace(key.Value())
	}
	return r
}

// fault reports a problem of a key of the section.
func (r *sectionReader) fault(key, format string, args ...any) {
	r.parser.fault(r.section, key, format, args...)
}

// reportUnknownKeys reports the keys that were not read. It must be called last.
func (r *sectionReader) reportUnknownKeys() {
	for key := range r.values {
		if !r.readKeys[key] && validKey(key) {
			r.fault(key, "unknown key")
		}
	}
}

// text returns the value of a key, which may be missing or empty.
func (r *sectionReader) text(key string) string {
	r.readKeys[key] = true
	return r.values[key]
}

// value returns the value of a key and whether it is set. It reports a key with an
// empty value.
func (r *sectionReader) value(key string) (string, bool) {
	value := r.text(key)
	if _, present := r.values[key]; present && value == "" {
		r.fault(key, "the value is empty; remove the key to use the default")
	}
	return value, value != ""
}

// list returns the items of a comma-separated list.
func (r *sectionReader) list(key string) []string {
	value, ok := r.value(key)
	if !ok {
		return nil
	}
	var items []string
	for _, item := range strings.Split(value, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			r.fault(key, "the list has an empty item")
			continue
		}
		items = append(items, item)
	}
	return items
}

// oneOf returns a value and reports one that is not allowed.
func (r *sectionReader) oneOf(key, defaultValue string, allowed ...string) string {
	value, ok := r.value(key)
	if !ok {
		return defaultValue
	}
	for _, a := range allowed {
		if a == value {
			return value
		}
	}
	r.fault(key, "%q is not one of %s", truncate(value), strings.Join(allowed, ", "))
	return defaultValue
}

func (r *sectionReader) boolean(key string) bool {
	return r.oneOf(key, "false", "true", "false") == "true"
}

// integer returns a whole number from minimum to maximum.
func (r *sectionReader) integer(key string, defaultValue, minimum, maximum int) int {
	value, ok := r.value(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum || n > maximum {
		r.fault(key, "%q is not a whole number from %d to %d", truncate(value), minimum, maximum)
		return defaultValue
	}
	return n
}

// duration returns a duration from minimum to maximum.
func (r *sectionReader) duration(key string, defaultValue, minimum, maximum time.Duration) time.Duration {
	value, ok := r.value(key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < minimum || d > maximum {
		r.fault(key, "%q is not a duration with a unit, such as 250ms, from %v to %v", truncate(value), minimum, maximum)
		return defaultValue
	}
	return d
}

// sizeUnits are the units of sizes. "B" comes last, because it is a suffix of the
// others.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// size returns a size in bytes from minimum to maximum.
func (r *sectionReader) size(key string, defaultValue, minimum, maximum int64) int64 {
	value, ok := r.value(key)
	if !ok {
		return defaultValue
	}
	n, ok := parseSize(value)
	if !ok || n < minimum || n > maximum {
		r.fault(key, "%q is not a size in B, KiB, MiB or GiB, such as 64MiB, from %dB to %dB",
			truncate(value), minimum, maximum)
		return defaultValue
	}
	return n
}

// parseSize parses a size with a unit and returns it in bytes.
func parseSize(value string) (int64, bool) {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(value, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/unit.bytes {
			return 0, false
		}
		return n * unit.bytes, true
	}
	return 0, false
}

// listenAddress returns an address to listen on. With port 0 the kernel chooses the
// port, which other hosts cannot know, so it is accepted on loopback addresses only.
func (r *sectionReader) listenAddress(key string) string {
	value, ok := r.value(key)
	if !ok {
		return ""
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		r.fault(key, "%q is not an IP address with a port, such as 127.0.0.1:7000", truncate(value))
		return ""
	}
	if address.Port() == 0 && !address.Addr().IsLoopback() {
		r.fault(key, "port 0 is allowed on loopback addresses only")
	}
	return value
}

// checkDialAddress reports whether an address can be connected to. It reports a
// fault if it cannot.
func (r *sectionReader) checkDialAddress(key, value string) bool {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		r.fault(key, "%q is not an IP address with a port, such as 127.0.0.1:7000", truncate(value))
		return false
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		r.fault(key, "%q is not an address that can be connected to", truncate(value))
		return false
	}
	return true
}

// digest returns a SHA-256 digest in lower-case hexadecimal.
func (r *sectionReader) digest(key string) string {
	value, ok := r.value(key)
	if !ok {
		return ""
	}
	value = strings.ToLower(value)
	if raw, err := hex.DecodeString(value); err != nil || len(raw) != 32 {
		r.fault(key, "the value is not a hexadecimal SHA-256 digest")
	}
	return value
}
