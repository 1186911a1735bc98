package role

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

type (
	// job is what the stand-in's workers understand of a payload.
	job struct {
		// Tag is repeated in the answer.
		Tag string `json:"tag"`
		// RunMs is the true run time in milliseconds; negative without end.
		RunMs int64 `json:"runMs"`
		// AnswerBytes is the length of the answer beyond the tag.
		AnswerBytes int `json:"answerBytes"`
		// Fail makes the task end without success.
		Fail bool `json:"fail"`
	}
)

const (
	maxAnswerBytes = 64 << 10
)

// parseJob reads a payload. Anything that is no JSON object runs at once and
// gives itself back.
func parseJob(payload string) job {
	var j job
	if err := json.Unmarshal([]byte(payload), &j); err != nil {
		return job{Tag: payload}
	}
	return j
}

func (j job) answer() (data, digest string) {
	n := max(0, min(j.AnswerBytes, maxAnswerBytes))
	data = j.Tag + strings.Repeat(".", n)
	sum := sha256.Sum256([]byte(data))
	return data, hex.EncodeToString(sum[:])
}
