package leader

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/oracle"
)

func TestMain(m *testing.M) { oracle.Main(m) }
