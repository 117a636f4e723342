"""The users' platform: its names, formats and calls. Nothing here decides.

Each message is decoded once into a type of the product; its names occur
nowhere else. The formats are those of the platform's protocol page.
"""
