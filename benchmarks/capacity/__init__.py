"""What each role costs at a size, measured in slopes on one machine."""
