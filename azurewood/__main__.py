"""Run the ``azurewood`` command."""

from azurewood.commands import main

if __name__ == "__main__":
    main.main()
