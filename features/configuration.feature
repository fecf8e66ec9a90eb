@instances.3 @log_records.300
Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given the versions in force are watched

  Scenario: two operators publish at once
    When two operators publish at i1 and i2 at once, 5 times
    Then each time one was accepted and the other was told of the conflict
    And all instances have the same configuration within 5 seconds
    And no version went back

  Scenario: time until an accepted change is in force
    When an operator publishes 10 changes, one after the other
    Then each was in force everywhere within 5 seconds

  Scenario: old records are repeated in the log
    When an operator publishes 2 changes, one after the other
    And all records of the configuration are repeated in the log
    And its changes and snapshots are written by another writer
    And 2 seconds pass
    Then the configuration is unchanged at all instances
    When instance i3 is killed
    And instance i3 is started and serves
    Then the configuration is unchanged at all instances
    And no version went back

  Scenario: an instance that alone is cut from the log
    When i3 is cut from the log
    And an operator publishes at i1
    Then all instances have the same configuration within 5 seconds
    And no version went back

  Scenario: an instance is started while the log is down
    When an operator publishes at i1
    And the log goes down
    And instance i3 is killed
    And instance i3 is started and serves
    Then all instances have the same configuration within 5 seconds
    And i3 serves an open call
    And i3 serves a keyed call or refuses it as not run
    When the log comes back
    Then i3 comes to serve a keyed call
    And no version went back

  Scenario: the entry that publishes is killed on the way
    When the log takes records after 1 seconds
    And an operator publishes "midway" at i1, which is killed after 0.5 seconds
    And 2 seconds pass
    And the log comes back
    And instance i1 serves
    And the operator publishes "midway" again at i2
    Then the change "midway" took effect once
    And all instances have the same configuration within 5 seconds
    And no version went back

  Scenario: the last full configuration leaves the log
    When changes are written until the log holds no snapshot
    When instance i2 is killed
    And instance i2 is started and serves
    Then all instances have the same configuration within 5 seconds
    When the control that holds "configuration" is killed
    Then the log holds a snapshot of the configuration
    When the entries can't reach each other
    And instance i3 is killed
    And instance i3 is started and serves
    Then all instances have the same configuration within 5 seconds
    And no version went back
