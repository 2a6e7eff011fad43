package jobtest

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// dropped stands for the value of a record that removes its key.
const dropped = "dropped"

// FormatRecords formats records as text for golden files, one per line.
func FormatRecords(records []topic.Record) []byte {
	var out bytes.Buffer
	for _, r := range records {
		value := dropped
		if r.Value != nil {
			value = strconv.Quote(string(r.Value))
		}
		fmt.Fprintf(&out, "%s %s\n", r.Key, value)
	}
	return out.Bytes()
}

// ParseRecords parses the text that FormatRecords returns.
func ParseRecords(text []byte) ([]topic.Record, error) {
	var records []topic.Record
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		record := topic.Record{Key: key}
		if value != dropped {
			unquoted, err := strconv.Unquote(value)
			if err != nil {
				return nil, fmt.Errorf("jobtest.ParseRecords: value of %s: %w", key, err)
			}
			record.Value = []byte(unquoted)
		}
		records = append(records, record)
	}
	return records, nil
}
