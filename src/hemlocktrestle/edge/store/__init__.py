"""Tasks that read and write the platform's store."""
