@instances.7
Feature: Rate and burst hold through many faults at once

  Scenario: entries, grantor, log and links fail in turn and together
    Given the narrow customer calls all instances at several times its rate
    When 2 seconds pass
    And instance i1 is paused
    And the control that holds "limits-tahi" is paused
    And i3 is cut from the log
    And 3 seconds pass
    And instance i1 is resumed
    And instance i2 is killed
    And another control holds "limits-tahi"
    And all controls are resumed
    And the controls can't be reached by the entries
    And instance i2 is started
    And 2 seconds pass
    And the controls can be reached again
    And the log goes down
    And 2 seconds pass
    And instance i4 is killed
    And instance i4 is started
    And 4 seconds pass
    And the log comes back
    And i3 reaches the log again
    And the control that holds "limits-tahi" is killed
    And 4 seconds pass
    Then the narrow customer got no more than its rate and burst
