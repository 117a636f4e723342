"""Adapter to the users' platform: its names, message formats and calls.

The adapter translates and makes no decisions. Each message is decoded once
into a type of azurewood, so that the platform's names occur only in this
package. The formats are those of the platform's protocol page.
"""
