package placement

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/sessions/oracle"
)

func TestMain(m *testing.M) { oracle.Main(m) }
