@instances.3
Feature: A window keeps its figures when the reporter changes

  Background:
    Given the other customer calls all instances

  Scenario: the reporter is paused between fixing and sending
    When the intake hangs
    And a window is fixed that isn't reported
    And the control that holds "usage-tahi" is paused
    And another control holds "usage-tahi"
    And the intake comes back
    And 4 seconds pass
    And all controls are resumed
    Then the reports count all its calls and no others
    And no window was reported with different figures or by an older reporter

  Scenario: two reporters are lost in a row
    When the control that holds "usage-tahi" is killed
    And another control holds "usage-tahi"
    And the control that holds "usage-tahi" is killed
    And another control holds "usage-tahi"
    Then the reports count all its calls and no others
    And no window was reported with different figures or by an older reporter
