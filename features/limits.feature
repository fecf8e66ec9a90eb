@instances.3
Feature: No customer gets more than its rate and burst

  Scenario: a customer far below its rate while the log is down
    Given every instance has a floor of the wide customer
    When the log goes down
    And 8 seconds pass
    Then every instance serves the wide customer

  Scenario: calls within the rate
    Given the narrow customer calls all instances at half its rate
    When 6 seconds pass
    Then most calls of the narrow customer were served
    And the narrow customer got no more than its rate and burst

  Scenario: callers that move from one instance to the next
    Given the narrow customer calls all instances at several times its rate
    When 5 seconds pass
    Then the narrow customer got no more than its rate and burst
    And its calls beyond the rate were refused as not run

  Scenario: entries that are paused, killed and replaced
    Given the narrow customer calls all instances at several times its rate
    When 1 seconds pass
    And instance i1 is paused
    And 3 seconds pass
    And instance i1 is resumed
    And instance i2 is killed
    And 1 seconds pass
    And instance i2 is started
    And 3 seconds pass
    Then the narrow customer got no more than its rate and burst

  Scenario: the grantor is paused and then killed
    Given the narrow customer calls all instances at several times its rate
    When 1 seconds pass
    And the control that holds "limits-tahi" is paused
    And another control holds "limits-tahi"
    And all controls are resumed
    And the control that holds "limits-tahi" is killed
    And 4 seconds pass
    Then the narrow customer got no more than its rate and burst

  Scenario: the grantor can't be reached
    Given the narrow customer calls all instances at several times its rate
    When 1 seconds pass
    And the controls can't be reached by the entries
    And 4 seconds pass
    Then the narrow customer was served in the last 2 seconds
    When the controls can be reached again
    And 2 seconds pass
    Then the narrow customer got no more than its rate and burst

  Scenario: the log is down for longer than the lease
    Given the narrow customer calls all instances at several times its rate
    When 1 seconds pass
    And the log goes down
    And 8 seconds pass
    Then the narrow customer was served in the last 2 seconds
    When the log comes back
    And 4 seconds pass
    Then the narrow customer got no more than its rate and burst
