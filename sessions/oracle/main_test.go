package oracle

import "testing"

func TestMain(m *testing.M) { Main(m) }
