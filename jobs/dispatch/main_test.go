package dispatch

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }
