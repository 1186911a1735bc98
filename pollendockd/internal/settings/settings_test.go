package settings

import (
	"strings"
	"testing"
)

const valid = `entryId = "entry-1"
dataCentre = "dc-1"
listen = "0.0.0.0:8001"
peerListen = "127.0.0.1:8101"
peers = ["127.0.0.1:8102"]
[platform]
log = "127.0.0.1:7100"
vmList = "127.0.0.1:7100"
`

// expectError parses the valid settings with one line replaced or added, and checks the
// error.
func expectError(t *testing.T, old, changed, want string) {
	t.Helper()
	text := strings.Replace(valid, old, changed, 1)
	if old == "" {
		text = valid + changed
	}
	_, err := Parse("s.toml", []byte(text))
	got := ""
	if err != nil {
		got = err.Error()
	}
	if !strings.HasPrefix(got, want) || want == "" && got != "" {
		t.Errorf("%q: got %q, want %q", changed, got, want)
	}
}

func TestParse(t *testing.T) {
	cases := []struct{ old, changed, want string }{
		{"", "", ""},
		{"", "vmLists = 1\n", "settings: s.toml:9: unknown key [platform vmLists]"},
		{"", "[bounds]\nmaxBodyBytes = 1\n", "settings: s.toml: bounds.maxBodyBytes: 1, outside 4096 to 16777216"},
		{"", "[bounds]\nmemoryMb = 47\n", "settings: s.toml: bounds.memoryMb: 47, outside 48 to 1048576"},
		{"", "[bounds]\nmaxDescriptors = 299\n", "settings: s.toml: bounds.maxDescriptors: 299, outside 300 to 1048576"},
		{"", "[bounds]\nmemoryMb = 284\nmaxDescriptors = 4100\n", ""},
		{"", "appendGap = \"fast\"\n", "settings: s.toml:9: "},
		{"", "appendGap = \"2h\"\n", "settings: s.toml: platform.appendGap: 2h0m0s, outside 1ms to 1s"},
		{"", "[telemetry]\ntraceRatio = nan\n", "settings: s.toml: telemetry.traceRatio: outside 0 to 1"},
		{"", "[telemetry]\nlogLevel = \"loud\"\n", "settings: s.toml: telemetry.logLevel"},
		{`"entry-1"`, `"Entry 1"`, "settings: s.toml: entryId"},
		{`"127.0.0.1:8101"`, `"localhost:8101"`, "settings: s.toml:4: "},
		{`"127.0.0.1:8101"`, `"0.0.0.0:8101"`, "settings: s.toml: peerListen: peers need a definite IP address"},
		{`log = "127.0.0.1:7100"`, ``, "settings: s.toml: platform.log: an IP address with a port is needed"},
		{`entryId = "entry-1"`, "bootstrapHash = \"abc\"\nentryId = \"entry-1\"", "settings: s.toml: bootstrapHash"},
	}
	for _, tc := range cases {
		expectError(t, tc.old, tc.changed, tc.want)
	}
}
