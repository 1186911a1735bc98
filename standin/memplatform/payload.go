package memplatform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

type (
	// spec is the payload of a task as the simulated workers interpret it.
	spec struct {
		// Tag is repeated in the output.
		Tag string `json:"tag"`
		// RunMs is the actual run time in milliseconds; a task with a negative one
		// never ends.
		RunMs int64 `json:"runMs"`
		// AnswerBytes is the length of the output after the tag.
		AnswerBytes int `json:"answerBytes"`
		// Fail makes the task fail at its end.
		Fail bool `json:"fail"`
	}
)

const (
	maxOutputBytes = 64 << 10
)

// parsePayload decodes a payload. One that cannot be decoded ends immediately
// and is its own output.
func parsePayload(payload string) spec {
	var s spec
	if err := json.Unmarshal([]byte(payload), &s); err != nil {
		return spec{Tag: payload}
	}
	return s
}

func (s spec) output() (data, digest string) {
	n := max(0, min(s.AnswerBytes, maxOutputBytes))
	data = s.Tag + strings.Repeat(".", n)
	sum := sha256.Sum256([]byte(data))
	return data, hex.EncodeToString(sum[:])
}
