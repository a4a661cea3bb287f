"""Reads settings files: YAML, validated into the settings of a process."""

from baobabgap.settingsfile._load import load_settings
from baobabgap.settingsfile._load import settings_from_document
from baobabgap.settingsfile._yaml import read_yaml

__all__ = ['load_settings', 'read_yaml', 'settings_from_document']
