@instances.3
Feature: Each window is reported once

  Background:
    Given the other customer calls all instances

  Scenario: calls over several windows
    When 7 seconds pass
    Then the reports count all its calls and no others
    And each window was reported in time
    And no window was reported with different figures or by an older reporter

  Scenario: the intake loses its answers
    When the intake loses the next 3 answers
    And 6 seconds pass
    Then the reports count all its calls and no others
    And some window was reported more than once
    And no window was reported with different figures or by an older reporter

  Scenario: the intake is down over several windows
    When the intake goes down
    And 12 seconds pass
    And the intake comes back
    Then the reports count all its calls and no others
    And no window was reported with different figures or by an older reporter

  Scenario: an entry is killed within a window
    When 3 seconds pass
    And instance i1 is killed
    And 1 seconds pass
    And instance i1 is started and serves
    Then the reports miss at most what i1 served in its last 2 seconds
    And no window was reported with different figures or by an older reporter
